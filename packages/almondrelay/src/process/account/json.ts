/** A value that JSON can hold. */
export type Json = null | boolean | number | string | Json[] | { [name: string]: Json | undefined }
