/** Schemas of common setting values, decoded from text. */
import { Schema, SchemaGetter } from 'effect'

const HOST_AND_PORT = /^[0-9A-Za-z.:[\]-]+:\d{1,5}$/

/** Address `IP:PORT`. */
export const AddressSetting = Schema.String.check(Schema.isPattern(HOST_AND_PORT))

/** Returns the schema of a whole number from `minimum` to `maximum`. */
export function integerSetting (minimum: number, maximum: number): Schema.Codec<number, string> {
  return Schema.FiniteFromString.check(Schema.isInt(), Schema.isBetween({ minimum, maximum }))
}

/** Addresses `IP:PORT`, separated by commas; the empty text is the empty list. */
export const AddressListSetting: Schema.Codec<readonly string[], string> = Schema.String.pipe(
  Schema.decodeTo(Schema.Array(AddressSetting), {
    decode: SchemaGetter.transform((text: string) => text.split(',').filter(part => part !== '')),
    encode: SchemaGetter.transform((parts: readonly string[]) => parts.join(','))
  })
)

/** Secrets of at least 8 characters, separated by commas: the first is used for sending, all are accepted. */
export const SecretListSetting: Schema.Codec<readonly string[], string> = Schema.String.pipe(
  Schema.decodeTo(Schema.Array(Schema.String.check(Schema.isMinLength(8))).check(Schema.isMinLength(1)), {
    decode: SchemaGetter.transform((text: string) => text.split(',').filter(part => part !== '')),
    encode: SchemaGetter.transform((parts: readonly string[]) => parts.join(','))
  })
)
