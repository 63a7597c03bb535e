import { PeerReach } from '../links/peerReach.js'

/**
 * Hosts that are asked in each round. The second one is for cuts of many hosts: the few of the first round may all be in the cut, and
 * would have a target that others reach taken for one that has exited.
 */
const ROUND_SIZES = [3, 6]

/** Asks hosts whether they reach a target, round by round until one does; resolves at the first that does. */
export async function askInRounds <Host> (hosts: readonly Host[], askHost: (host: Host) => Promise<PeerReach>): Promise<PeerReach> {
  let summary: PeerReach = PeerReach.none
  let asked = 0
  for (const size of ROUND_SIZES) {
    const reach = await askRound(hosts.slice(asked, asked + size), askHost)
    if (reach === PeerReach.reached) return reach
    if (reach === PeerReach.unreached) summary = reach
    asked += size
  }
  return summary
}

const askRound = async <Host>(hosts: readonly Host[], askHost: (host: Host) => Promise<PeerReach>): Promise<PeerReach> => {
  const answers = hosts.map(askHost)
  const firstReached = new Promise<PeerReach>((resolve) => {
    for (const answer of answers) void answer.then((reach) => { if (reach === PeerReach.reached) resolve(reach) })
  })
  const summary = Promise.all(answers).then((reaches) => reaches.find((reach) => reach !== PeerReach.none) ?? PeerReach.none)
  return Promise.race([firstReached, summary])
}
