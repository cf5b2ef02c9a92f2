import { checkMatrix } from './matrix-check.js'

checkMatrix('call', 1, 0)
