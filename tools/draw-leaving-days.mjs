/**
 * Writes day files in which upstreams leave, in series and overlapping, beside each kind of fault alone or in pairs.
 *
 * Usage: node tools/draw-leaving-days.mjs DIRECTORY alone
 *        node tools/draw-leaving-days.mjs DIRECTORY pairs COUNT SEED
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Planned work: upstreams are replaced and taken away one after the other, then both at once. */
const PLAN = [
  'kind = "release", at = 3.0, share = 1.0, x = 2.0, gap_s = 0.6',
  'kind = "scale_in", at = 6.0, share = 0.2',
  'kind = "scale_in", at = 13.0, share = 0.2, how = "spot"',
  'kind = "scale_out", at = 15.0, share = 0.3, gap_s = 1.0',
  'kind = "release", at = 17.0, share = 0.6, x = 3.0, gap_s = 0.4',
  'kind = "release", at = 20.0, share = 1.0, x = 2.0, gap_s = 0.6',
  'kind = "scale_in", at = 22.0, share = 0.3'
]

/** Faults by a name for the file. Each strikes three times in a day. */
const FAULTS = {
  'late-orders': 'kind = "applied_late", share = 1.0, x = 0.7, for_s = 6.0, how = "orders"',
  'late-all': 'kind = "applied_late", share = 1.0, x = 0.9, for_s = 5.0, how = "all"',
  'late-grants': 'kind = "applied_late", share = 1.0, x = 0.5, for_s = 6.0, how = "grants"',
  'answer-lost': 'kind = "answer_lost", share = 1.0, x = 0.3, for_s = 6.0',
  'upstream-reborn': 'kind = "srv_cut", share = 0.5, for_s = 3.0, how = "reborn"',
  'upstream-cut': 'kind = "srv_cut", share = 0.4, for_s = 3.0',
  'upstream-cut-some': 'kind = "srv_cut", share = 0.4, x = 0.5, for_s = 4.0, how = "some"',
  'upstream-cut-one-way': 'kind = "srv_cut", share = 0.4, for_s = 3.0, how = "one_way"',
  'upstream-cut-reset': 'kind = "srv_cut", share = 0.4, for_s = 3.0, how = "reset"',
  'servers-cut': 'kind = "node_cut", share = 0.4, for_s = 3.0, how = "servers"',
  'servers-reborn': 'kind = "node_cut", share = 0.4, for_s = 3.0, how = "servers reborn"',
  'agents-cut': 'kind = "node_cut", share = 0.4, for_s = 3.0, on = "side"',
  'entries-cut': 'kind = "node_cut", share = 0.5, for_s = 3.0',
  'cut-all': 'kind = "node_cut", share = 0.3, for_s = 3.0, how = "all"',
  crash: 'kind = "srv_crash", share = 0.3, for_s = 2.0',
  'crash-dark': 'kind = "srv_crash", share = 0.3, for_s = 3.0, how = "dark"',
  'upstream-slow': 'kind = "srv_slow", share = 0.4, x = 5.0, for_s = 5.0',
  'grey-errors': 'kind = "srv_grey", share = 0.4, x = 0.6, for_s = 5.0, how = "errors"',
  'grey-busy': 'kind = "srv_grey", share = 0.4, x = 0.6, for_s = 5.0, how = "busy"',
  'grey-hang': 'kind = "srv_grey", share = 0.4, x = 0.6, for_s = 5.0, how = "hang"',
  'grey-reset': 'kind = "srv_grey", share = 0.4, x = 0.6, for_s = 5.0, how = "reset"',
  'grey-mute': 'kind = "srv_grey", share = 0.4, x = 0.6, for_s = 5.0, how = "mute"',
  'agents-killed': 'kind = "node_kill", share = 0.5, on = "side"',
  'agents-dark': 'kind = "node_kill", share = 0.4, on = "side", how = "power", for_s = 3.0',
  'entries-killed': 'kind = "node_kill", share = 0.5',
  'agents-frozen': 'kind = "node_freeze", share = 0.5, on = "side", for_s = 2.5',
  'entries-frozen': 'kind = "node_freeze", share = 0.5, for_s = 2.5',
  'agents-slow': 'kind = "node_slow", share = 0.5, x = 6.0, on = "side", for_s = 5.0',
  'entries-slow': 'kind = "node_slow", share = 0.5, x = 6.0, for_s = 5.0',
  roll: 'kind = "roll_term", share = 1.0, x = 2.0, gap_s = 0.5',
  'roll-agents': 'kind = "roll_term", share = 0.5, x = 2.0, gap_s = 0.5, on = "side"',
  'herd-kill': 'kind = "herd_kill", share = 0.6',
  'herd-power': 'kind = "herd_kill", share = 0.6, how = "power", for_s = 3.0',
  clocks: 'kind = "clock_step", share = 0.6, x = 2500.0, for_s = 4.0',
  connections: 'kind = "reset_conns", share = 0.6, x = 0.7',
  lossy: 'kind = "lossy", x = 0.05, for_s = 5.0',
  'store-cut': 'kind = "core_cut", count = 2, for_s = 4.0',
  'store-down': 'kind = "platform_down", how = "silent", for_s = 4.0',
  'store-slow': 'kind = "platform_slow", x = 50.0, for_s = 4.0',
  'store-lost': 'kind = "platform_lost", x = 0.4, for_s = 4.0, how = "late"',
  'store-compacts': 'kind = "platform_compact", x = 5.0, how = "rewind"',
  storm: 'kind = "config_storm", for_s = 4.0, gap_s = 0.3',
  burst: 'kind = "burst", x = 2.0, for_s = 5.0',
  'give-up': 'kind = "give_up", share = 0.4, x = 40.0, for_s = 5.0',
  poison: 'kind = "poison", share = 0.3, for_s = 4.0, class = "@c0"',
  replaced: 'kind = "replace_core", x = 1.0',
  reloads: 'kind = "hup", share = 1.0, gap_s = 1.0'
}

/** Seconds at which the first and the second fault of a pair strike. */
const STRIKES = [[2.5, 12.5, 19.5], [4.5, 14.0, 21.5]]

function dayOf (name, faults, seed) {
  const rows = faults.flatMap((fault, position) => STRIKES[position].map(at => `  { at = ${at.toFixed(1)}, ${FAULTS[fault]} },`))
  return [
    '[[day]]', `name = "${name}"`, 'slot = "trouble"', `seed = ${seed}`, 'goal = { floor = 0.0 }',
    'plan = [', ...PLAN.map(row => `  { ${row} },`), ']', 'faults = [', ...rows, ']', ''
  ].join('\n')
}

const [directory, mode, count = '0', seedText = '1'] = process.argv.slice(2)
const names = Object.keys(FAULTS)
mkdirSync(directory, { recursive: true })
if (mode === 'alone') {
  for (const [position, name] of names.entries()) {
    writeFileSync(join(directory, `leaving-${name}.toml`), dayOf(`leaving-${name}`, [name], 7_000 + position))
  }
} else {
  const random = xoroshiro128plus(Number(seedText))
  for (let number = 1; number <= Number(count); number += 1) {
    const first = uniformInt(random, 0, names.length - 1)
    const second = (first + uniformInt(random, 1, names.length - 1)) % names.length
    const name = `leaving-${names[first]}-and-${names[second]}`
    writeFileSync(join(directory, `${name}.toml`), dayOf(name, [names[first], names[second]], 8_000 + number))
  }
}
