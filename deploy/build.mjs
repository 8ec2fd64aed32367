/** Bundles the daemon into one file, so that a start reads and compiles little. */
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/weldyardd.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
});
