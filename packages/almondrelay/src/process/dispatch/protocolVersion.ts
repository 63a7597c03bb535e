/** Version of the protocol between hosts that this build implements. */
export const PROTOCOL_VERSION = 1
