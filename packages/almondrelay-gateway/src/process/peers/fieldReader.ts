import { BinaryReader, type WireType } from '@bufbuild/protobuf/wire'

/** Reads the fields of protobuf messages in a datagram. Every method throws an Error if the bytes end before the value does. */
export class FieldReader {
  private readonly reader: BinaryReader
  private readonly buffer: Buffer

  constructor (bytes: Uint8Array) {
    this.reader = new BinaryReader(bytes)
    this.buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  }

  /** Returns whether there are bytes left before `end`. */
  hasMore (end: number): boolean {
    return this.reader.pos < end
  }

  /** Returns a field's tag: its number times 8, plus its wire type. */
  readTag (): number {
    return this.reader.uint32()
  }

  readUint32 (): number {
    return this.reader.uint32()
  }

  readBoolean (): boolean {
    return this.reader.bool()
  }

  readFixed32 (): number {
    return this.reader.fixed32()
  }

  readFloat (): number {
    return this.reader.float()
  }

  readDouble (): number {
    return this.reader.double()
  }

  readText (): string {
    const end = this.readEnd()
    const text = this.buffer.toString('utf8', this.reader.pos, end)
    this.reader.pos = end
    return text
  }

  readBytes (): Uint8Array {
    return this.reader.bytes()
  }

  /** Reads the length of a nested message or packed list and returns the position after its last byte. */
  readEnd (): number {
    const { reader } = this
    const length = reader.uint32()
    const end = reader.pos + length
    if (end > reader.len) throw new RangeError('a field ends after the last byte')
    return end
  }

  /** Adds the values of a packed list to `values`. */
  readPackedUint32 (values: number[]): void {
    const end = this.readEnd()
    while (this.reader.pos < end) values.push(this.reader.uint32())
  }

  /** Adds the values of a packed list to `values`. */
  readPackedFixed32 (values: number[]): void {
    const end = this.readEnd()
    while (this.reader.pos < end) values.push(this.reader.fixed32())
  }

  /** Adds the values of a packed list to `values`. */
  readPackedFloat (values: number[]): void {
    const end = this.readEnd()
    while (this.reader.pos < end) values.push(this.reader.float())
  }

  /** Passes over a field that this build doesn't know. */
  ignoreField (tag: number): void {
    this.reader.skip((tag & 7) as WireType, tag >>> 3)
  }
}
