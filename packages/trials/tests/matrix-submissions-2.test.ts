import { checkMatrix } from './matrix-check.js'

checkMatrix('submission', 2, 1)
