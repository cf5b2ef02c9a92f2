/** The flag by which an operator names the customer that a submission belongs to. */
import { Flags } from '@oclif/core'

/** Flag `--customer`. */
export const CUSTOMER_FLAG = Flags.string({
  summary: "customer that the job belongs to; needed with an operator's key"
})
