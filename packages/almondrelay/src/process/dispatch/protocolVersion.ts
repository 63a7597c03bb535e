/** Version of the messages between hosts that this build speaks. */
export const PROTOCOL_VERSION = 1
