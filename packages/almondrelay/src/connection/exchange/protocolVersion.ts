/** Version of the messages between hosts; a host of another version is refused. */
export const PROTOCOL_VERSION = 1
