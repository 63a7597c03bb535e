import { promisify } from 'node:util'
import { gunzip, gzip } from 'node:zlib'

/** First two bytes of every gzip stream; uncompressed texts of this product never begin with them. */
const GZIP_MAGIC = [0x1f, 0x8b]
/**
 * Length in bytes from which a value is compressed. Each value is sent to the store and from there to every host that watches it:
 * an account page of 141 rows has 33.7 KB, and 4.3 KB when compressed, which takes 4 ms.
 */
const MIN_COMPRESSED_BYTES = 512
/**
 * Maximum length of a decompressed text in bytes: sixteen times that of the longest value that the store takes. A value of one
 * megabyte by another writer may decompress to a gigabyte, several times the memory of a host.
 */
const MAX_TEXT_BYTES = 16 * 1024 * 1024

/**
 * Encodes texts for the store and decodes them, compressed from a minimum length on. The functions of node:zlib are looked up at each use:
 * they must not be loaded while the startup snapshot is built.
 */
export const storedText = {
  encode: async (text: string): Promise<Buffer> => {
    const bytes = Buffer.from(text)
    return bytes.byteLength < MIN_COMPRESSED_BYTES ? bytes : await promisify(gzip)(bytes)
  },
  decode: async (bytes: Buffer): Promise<string> => {
    const isCompressed = GZIP_MAGIC.every((byte, index) => bytes[index] === byte)
    return (isCompressed ? await promisify(gunzip)(bytes, { maxOutputLength: MAX_TEXT_BYTES }) : bytes).toString()
  }
}
