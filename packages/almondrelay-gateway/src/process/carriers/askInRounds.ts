import { PeerWord } from '../links/peerWord.js'

/**
 * Hosts that are asked in each round. The second one is for cuts of many hosts: the few of the first round may all be in the cut, and
 * would have a target that others reach taken for one that has exited.
 */
const ROUND_SIZES = [3, 6]

/** Asks hosts whether they reach a target, round by round until one does; resolves at the first that does. */
export async function askInRounds <Host> (hosts: readonly Host[], askHost: (host: Host) => Promise<PeerWord>): Promise<PeerWord> {
  let summary: PeerWord = PeerWord.none
  let asked = 0
  for (const size of ROUND_SIZES) {
    const word = await askRound(hosts.slice(asked, asked + size), askHost)
    if (word === PeerWord.reached) return word
    if (word === PeerWord.unreached) summary = word
    asked += size
  }
  return summary
}

const askRound = async <Host>(hosts: readonly Host[], askHost: (host: Host) => Promise<PeerWord>): Promise<PeerWord> => {
  const answers = hosts.map(askHost)
  const firstReached = new Promise<PeerWord>((resolve) => {
    for (const answer of answers) void answer.then((word) => { if (word === PeerWord.reached) resolve(word) })
  })
  const summary = Promise.all(answers).then((words) => words.find((word) => word !== PeerWord.none) ?? PeerWord.none)
  return Promise.race([firstReached, summary])
}
