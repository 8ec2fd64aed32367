/**
 * Bundles the daemon into one file and compiles it ahead, so that a start reads
 * and compiles little: all instances may start at once, each on a small share
 * of a processor.
 */
import {mkdirSync, renameSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import vm from 'node:vm';
import {build} from 'esbuild';

// Another folder may be given, so that builds side by side do not meet.
const FOLDER = process.argv[2] ?? 'target';
const BUNDLE = `${FOLDER}/weldyardd.bundle.cjs`;
const CODE = `${FOLDER}/weldyardd.code`;
const LAUNCHER = `${FOLDER}/weldyardd.cjs`;

/**
 * Puts a whole file in its place at once: a daemon that starts while a build runs
 * takes the old file or the new one, and never half of one.
 */
function replaceFile(file, content) {
  const written = `${file}.${process.pid}`;
  writeFileSync(written, content);
  renameSync(written, file);
}

const built = await build({
  entryPoints: ['platform/main.ts'],
  outfile: BUNDLE,
  write: false,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  // Loaded with the first reading of counters, if there is one.
  external: ['prom-client'],
  legalComments: 'none',
});

// The bundle runs once without settings, which compiles what a start needs.
const source = `(function (require, module, exports) {${built.outputFiles[0].text}\n})`;
const script = new vm.Script(source, {filename: BUNDLE});
const module = {exports: {}};
const require = createRequire(import.meta.url);
process.env.WELDYARD_COMPILE_ONLY = '1';
script.runInThisContext()(require, module, module.exports);
mkdirSync(FOLDER, {recursive: true});
// Code of another bundle is rejected by the runtime, and costs a slower start.
replaceFile(CODE, script.createCachedData());
replaceFile(BUNDLE, source);
replaceFile(
  LAUNCHER,
  `'use strict';
// Until the program handles it: without a listener the signal ends the process.
process.on('SIGHUP', () => {});
const {readFileSync} = require('node:fs');
const vm = require('node:vm');
const script = new vm.Script(readFileSync('${BUNDLE}', 'utf8'), {
  filename: '${BUNDLE}',
  cachedData: readFileSync('${CODE}'),
});
script.runInThisContext()(require, module, exports);
`,
);
