/** A value that can be represented in JSON. */
export type Json = null | boolean | number | string | Json[] | { [name: string]: Json | undefined }
