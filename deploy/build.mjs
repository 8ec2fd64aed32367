/**
 * Bundles the daemon into one file, runs it once against an emulated platform and
 * keeps that process as the snapshot that daemons start from: a start then reads
 * and compiles next to nothing. All instances may start at once, each on a small
 * share of a processor.
 */
import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {mkdirSync, renameSync, rmSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';

// Another folder may be given, so that builds side by side do not meet.
const FOLDER = process.argv[2] ?? 'target';
const SNAPSHOT = `${FOLDER}/weldyardd.snapshot`;
// Builds side by side in one folder write files of their own.
const BUNDLE = `${FOLDER}/weldyardd.${process.pid}.cjs`;
const REHEARSAL = `${FOLDER}/rehearsal.${process.pid}.cjs`;
const WRITTEN = `${SNAPSHOT}.${process.pid}`;
const BUILD_DIGITS = 8;

const COMMON = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  // Loaded with the first reading of counters, from the installed packages.
  external: ['prom-client'],
};

/**
 * Prints the build and returns the bundle after a line that declares it. The build is a
 * hash over the bundle without that line, the same wherever the same sources and packages
 * are bundled.
 */
function withBuild(bundle) {
  const hash = createHash('sha256').update(bundle).digest('hex');
  const build = hash.slice(0, BUILD_DIGITS);
  process.stdout.write(`build ${build}\n`);
  const line = `"use strict";const WELDYARD_BUILD="${build}";\n`;
  return Buffer.concat([Buffer.from(line), bundle]);
}

mkdirSync(FOLDER, {recursive: true});
const bundled = await build({
  ...COMMON,
  entryPoints: ['platform/main.ts'],
  outfile: BUNDLE,
  minify: true,
  write: false,
});
writeFileSync(BUNDLE, withBuild(bundled.outputFiles[0].contents));
await build({
  ...COMMON,
  entryPoints: ['platform/emulator/rehearsal.ts'],
  outfile: REHEARSAL,
});
try {
  execFileSync(process.execPath, [REHEARSAL, BUNDLE, WRITTEN], {
    stdio: 'inherit',
  });
  // A daemon that starts while a build runs takes the old file or the new one.
  renameSync(WRITTEN, SNAPSHOT);
} finally {
  [REHEARSAL, BUNDLE].forEach(file => rmSync(file));
}
