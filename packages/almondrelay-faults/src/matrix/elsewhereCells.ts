import type { Cell } from './cell.js'
import { Fault } from './fault.js'
import { ProofKind } from './proofKind.js'
import { Step } from './step.js'

const HOST_PROCESSES = 'almondrelay-faults: processes/hostFaults'
const NETWORK_PROCESSES = 'almondrelay-faults: processes/networkFaults'
const PLATFORM_PROCESSES = 'almondrelay-faults: processes/platformFaults'
const TARGET_PROCESSES = 'almondrelay-faults: processes/targetFaults'
const EXCHANGES = 'almondrelay: connection/exchange/runExchanges'
const CHANGE_LOG = 'almondrelay: process/configuration/changeLog'
const SLOTS_MODEL = 'almondrelay: process/limits/hostSlotsModel'
const REGION_MODEL = 'almondrelay: process/limits/regionLimitsModel'

const makeCell = (step: Step, faults: Fault[], outcome: string, where: string): Cell => ({ step, faults, outcome, where, kind: ProofKind.elsewhere })

/** Cells that tests elsewhere prove; each names its test file. */
export const elsewhereCells: Cell[] = [
  makeCell(Step.lookup, [Fault.kill], 'neighbours know that the process has ended within a second; look-ups no longer name it', EXCHANGES),
  makeCell(Step.lookup, [Fault.freeze], 'a frozen host is suspected, gets no new work, and frees nothing', EXCHANGES),
  makeCell(Step.lookup, [Fault.noMeasurements], 'weights fade from reported free slots to slots in total', 'almondrelay: version/weights/computeLookupAnswer'),
  makeCell(Step.send, [Fault.kill], 'a host dies under load: at most one run of each id, none for a not-run (real processes)', HOST_PROCESSES),
  makeCell(Step.send, [Fault.freeze, Fault.leaseLapse], 'a host frozen for longer than its leases runs nothing on them after it wakes (real processes)', HOST_PROCESSES),
  makeCell(Step.send, [Fault.silentConnection], 'a target\'s and a peer\'s connections go silent: truthful answers, new connections are used (real processes)', NETWORK_PROCESSES),
  makeCell(Step.firstByte, [Fault.kill], 'the target closes before it answers: unknown or another target, never two runs (real processes)', TARGET_PROCESSES),
  makeCell(Step.body, [Fault.cutBack], 'a body broken off, or longer than stated, is not passed on (real processes)', TARGET_PROCESSES),
  makeCell(Step.choose, [Fault.slow], 'a slow or silent target loses its work within a few answers and gets it back by trial', 'almondrelay: request/slowTarget'),
  makeCell(Step.choose, [Fault.noMeasurements], 'a load report that lies or stops is outweighed by what is measured here', 'almondrelay: request/slowTarget, almondrelay-faults: processes/targetFaults'),
  makeCell(Step.admit, [Fault.slow], 'overload, a burst, a hot caller and long jobs: refused at once or served in time', 'almondrelay: request/overload, burst, hotCaller, longJobs'),
  makeCell(Step.admit, [Fault.regionLost], 'a lost region\'s work fills no other above its limit', 'almondrelay: request/placement/regionLoss'),
  makeCell(Step.accept, [Fault.outage], 'callers are served while the platform is down (real processes)', PLATFORM_PROCESSES),
  makeCell(Step.accept, [Fault.regionLost], 'a region cut off from the others and the platform serves its own callers (real processes)', NETWORK_PROCESSES),
  makeCell(Step.write, [Fault.lostAnswer], 'the writer learns that its change was made', `${CHANGE_LOG}; ${PLATFORM_PROCESSES}`),
  makeCell(Step.write, [Fault.outage], 'the writer is told unknown with its write id, or accepted; never refused of what took effect', `${CHANGE_LOG}; ${PLATFORM_PROCESSES}`),
  makeCell(Step.write, [Fault.operatorRace], 'exactly one is accepted; the other learns the revision that it lost to', `${CHANGE_LOG}; ${PLATFORM_PROCESSES}`),
  makeCell(Step.write, [Fault.cutTo], 'a host that missed changes fetches them from a peer; no revision goes back', EXCHANGES),
  makeCell(Step.write, [Fault.kill], 'both watchers of a zone die and are replaced; changes go on arriving', EXCHANGES),
  makeCell(Step.loan, [Fault.kill], 'a lender or borrower dies: the limit holds, and is whole again in the stated time', REGION_MODEL),
  makeCell(Step.loan, [Fault.freeze, Fault.leaseLapse], 'a borrower frozen past its term uses nothing of it after it wakes', REGION_MODEL),
  makeCell(Step.loan, [Fault.cutTo], 'messages lost, late and repeated: the limit holds at each step', `${SLOTS_MODEL}; ${REGION_MODEL}`),
  makeCell(Step.loan, [Fault.cutBack], 'answers lost: the loan counts at the lender until its term and the longest deadline are over', `${SLOTS_MODEL}; ${REGION_MODEL}`),
  makeCell(Step.loan, [Fault.outage], 'floors stay, loans lapse, a new lender waits its predecessor out', REGION_MODEL),
  makeCell(Step.drain, [Fault.noMeasurements], 'a target that says that it leaves gets nothing after 3 s, whatever the list says (real processes)', TARGET_PROCESSES),
  makeCell(Step.stop, [Fault.kill], 'a host that announced its end takes no other with it', EXCHANGES),
  makeCell(Step.stop, [Fault.slow], 'a planned stop under load finishes everything and exits 0 (real processes)', HOST_PROCESSES),
  { step: Step.admit, faults: [Fault.operatorRace], outcome: 'requests run on whichever revision is in force', kind: ProofKind.impossible, where: 'a host applies revisions one after the other between two requests; a race is decided before any host sees it' },
  { step: Step.connect, faults: [Fault.outage], outcome: 'connections to targets don\'t notice', kind: ProofKind.impossible, where: 'no call to the platform is made for a request' },
  { step: Step.send, faults: [Fault.outage], outcome: 'sending to targets doesn\'t notice', kind: ProofKind.impossible, where: 'no call to the platform is made for a request' },
  { step: Step.wait, faults: [Fault.outage], outcome: 'waiting for an answer doesn\'t notice', kind: ProofKind.impossible, where: 'no call to the platform is made for a request' },
  { step: Step.repeat, faults: [Fault.outage], outcome: 'a repeat doesn\'t notice', kind: ProofKind.impossible, where: 'the journal is in the home\'s memory; no call to the platform is made for a request' }
]
