/** Content type of unary calls of the Connect protocol in binary form. */
export const CARRIER_CONTENT_TYPE = 'application/proto'
