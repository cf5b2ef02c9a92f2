/** Schemas of the values that settings commonly have: all decode from text. */
import { Schema, SchemaGetter } from 'effect'

const HOST_AND_PORT = /^[0-9A-Za-z.:[\]-]+:\d{1,5}$/

/** An address `IP:PORT`. */
export const AddressSetting = Schema.String.check(Schema.isPattern(HOST_AND_PORT))

/** A whole number from `minimum` to `maximum`. */
export function integerSetting (minimum: number, maximum: number): Schema.Codec<number, string> {
  return Schema.FiniteFromString.check(Schema.isInt(), Schema.isBetween({ minimum, maximum }))
}

/** A list of addresses `IP:PORT`, split by commas; the empty text is the empty list. */
export const AddressListSetting: Schema.Codec<readonly string[], string> = Schema.String.pipe(
  Schema.decodeTo(Schema.Array(AddressSetting), {
    decode: SchemaGetter.transform((text: string) => text.split(',').filter(part => part !== '')),
    encode: SchemaGetter.transform((parts: readonly string[]) => parts.join(','))
  })
)

/** A list of secrets split by commas, each of at least 8 characters: the first is sent, all are accepted. */
export const SecretListSetting: Schema.Codec<readonly string[], string> = Schema.String.pipe(
  Schema.decodeTo(Schema.Array(Schema.String.check(Schema.isMinLength(8))).check(Schema.isMinLength(1)), {
    decode: SchemaGetter.transform((text: string) => text.split(',').filter(part => part !== '')),
    encode: SchemaGetter.transform((parts: readonly string[]) => parts.join(','))
  })
)
