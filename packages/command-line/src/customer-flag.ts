/** Flag shared by the commands that take a submission key. */
import { Flags } from '@oclif/core'

export const CUSTOMER_FLAG = Flags.string({
  summary: 'customer that the job belongs to; required with the key of an operator'
})
