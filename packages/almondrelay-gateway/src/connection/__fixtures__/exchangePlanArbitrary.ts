import fc from 'fast-check'
import type { PlannedAnswer } from './plannedAnswer.js'
import type { PlannedExchange } from './plannedExchange.js'

const BODY_PARTS = ['', 'first', 'a longer part of a body, ', 'x'.repeat(400), 'x'.repeat(900), '\r\n', '\r\n\r\n', '\u0000\u00ff', '{own}', '{other}', '{next}', 'id: {next}\r\n', 'HTTP/1.1 200 OK\r\n']
const KEEP_ALIVE_MS = 10_000

const body = fc.array(fc.constantFrom(...BODY_PARTS), { maxLength: 5 })
const pieces = fc.oneof(
  { weight: 3, arbitrary: fc.constant<number[]>([]) },
  { weight: 2, arbitrary: fc.array(fc.integer({ min: 1, max: 200 }), { maxLength: 4 }) },
  { weight: 1, arbitrary: fc.constant<number[]>(new Array<number>(40).fill(1)) }
)
const method = fc.constantFrom<PlannedExchange['method']>('GET', 'GET', 'POST', 'HEAD')

/** An answer in any lawful form. */
const soundAnswer: fc.Arbitrary<PlannedAnswer> = fc.oneof(
  { weight: 9, arbitrary: fc.constantFrom({ status: 200 }, { status: 200 }, { status: 201 }, { status: 404 }, { status: 503 }, { status: 204 }, { status: 304 }) },
  { weight: 1, arbitrary: fc.constant({ status: 400, isNotRun: true, label: 'none' as const }) }
).chain((kind) => fc.record({
  back: fc.constant(0),
  label: fc.constant<PlannedAnswer['label']>('label' in kind ? kind.label : 'own'),
  status: fc.constant(kind.status),
  isNotRun: fc.constant('isNotRun' in kind),
  framing: fc.constantFrom<PlannedAnswer['framing']>('length', 'length', 'chunks', 'chunks-and-trailer', 'none'),
  body,
  interim: fc.oneof({ weight: 4, arbitrary: fc.constant<number[]>([]) }, { weight: 1, arbitrary: fc.array(fc.constantFrom(100, 103), { maxLength: 3 }) }),
  emptyLines: fc.constantFrom(0, 0, 0, 1),
  isIdLast: fc.boolean(),
  share: fc.constant(1),
  keepAliveMs: fc.constantFrom(KEEP_ALIVE_MS, KEEP_ALIVE_MS, undefined),
  closes: fc.constantFrom(false, false, false, false, true)
}))

/** Cuts lie in the head, which is short, or near the end, where the next answer fills what is missing. */
const share = fc.oneof(fc.double({ min: 0.1, max: 0.5, noNaN: true }), fc.double({ min: 0.6, max: 1, noNaN: true }))

/** An answer that a faulty target writes: a further one, a cut one, one with a wrong id or with none. */
const faultyAnswer: fc.Arbitrary<PlannedAnswer> = fc.record({
  sound: soundAnswer,
  back: fc.constantFrom(0, 1, 1, 1, 1, 2),
  label: fc.constantFrom<PlannedAnswer['label']>('own', 'own', 'own', 'own', 'none', 'unknown', 'letters', 'own-and-other', 'other-and-own'),
  share: fc.oneof(fc.constant(1), share)
}).map(({ sound, ...faults }) => ({ ...sound, ...faults }))

/** A repeated answer that was cut, and the first answer to the next request behind it. */
const cutAndSound = fc.tuple(faultyAnswer.map((answer) => ({ ...answer, back: 1, label: 'own' as const })), soundAnswer)

/** Plans for a target that answers each request once, in a lawful form. */
const soundPlan: fc.Arbitrary<PlannedExchange[]> = fc.array(fc.record({
  method,
  repeatedBack: fc.constant(undefined),
  gapMs: fc.constantFrom(0, 0, 100, 5_000, KEEP_ALIVE_MS),
  idleAnswers: fc.constant<PlannedAnswer[]>([]),
  idleEmptyLines: fc.constantFrom(0, 0, 1),
  answers: fc.tuple(soundAnswer),
  pieces,
  end: fc.constantFrom<PlannedExchange['end']>('open', 'open', 'open', 'closed')
}), { minLength: 1, maxLength: 6 }).map((plan) => plan.map((exchange) => ({ ...exchange, end: exchange.answers.some(({ framing }) => framing === 'none') ? 'closed' : exchange.end })))

/** Plans for a target that writes what it likes. */
const faultyPlan: fc.Arbitrary<PlannedExchange[]> = fc.array(fc.record({
  method,
  repeatedBack: fc.oneof({ weight: 6, arbitrary: fc.constant(undefined) }, { weight: 2, arbitrary: fc.constantFrom(1, 2) }),
  gapMs: fc.constantFrom(0, 0, 0, 5_000),
  idleAnswers: fc.oneof({ weight: 4, arbitrary: fc.constant<PlannedAnswer[]>([]) }, { weight: 1, arbitrary: fc.array(faultyAnswer, { maxLength: 2 }) }),
  idleEmptyLines: fc.constantFrom(0, 0, 1),
  answers: fc.oneof(
    { weight: 2, arbitrary: fc.array(fc.oneof({ weight: 3, arbitrary: soundAnswer }, { weight: 2, arbitrary: faultyAnswer }), { maxLength: 4 }) },
    { weight: 1, arbitrary: cutAndSound },
    { weight: 1, arbitrary: fc.tuple(soundAnswer) }
  ),
  pieces,
  end: fc.constantFrom<PlannedExchange['end']>('open', 'open', 'open', 'open', 'closed', 'reset')
}), { minLength: 1, maxLength: 5 })

/** Draws what a target writes for requests that are sent to it one after the other. */
export const exchangePlanArbitrary = { sound: soundPlan, faulty: faultyPlan }
