/**
 * What happens to the connections between two places: `cut` resets and refuses, `silence` swallows
 * the bytes of open connections while new ones work, `partition` swallows those of new ones too,
 * `pass` lets new connections work again.
 */
export type NetworkFault = 'cut' | 'silence' | 'partition' | 'pass'
