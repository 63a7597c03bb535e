/**
 * Milliseconds after its last statement for which a target, or a service by its targets, counts as one that states its speed: longer than
 * any pause between answers.
 */
export const STATES_SPEED_MS = 10_000
