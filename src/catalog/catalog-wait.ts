/** Waits for a change of a catalog, without a listener left behind. */
import type {Clock} from '../ports/clock.js';
import type {Catalog} from './catalog.js';

/**
 * Resolves after the first change of a catalog for which `holds` returns true, or at
 * `deadline` (monotonic milliseconds).
 */
export async function awaitCatalogChange(
  catalog: Catalog,
  clock: Clock,
  deadline: number,
  holds: () => boolean,
): Promise<void> {
  await new Promise<void>(resolve => {
    const finish = () => {
      timer.cancel();
      removeListener();
      resolve();
    };
    const timer = clock.callAt(deadline, finish);
    const removeListener = catalog.onChange(() => {
      if (holds()) {
        finish();
      }
    });
  });
}
