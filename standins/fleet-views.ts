/** What tests read of the daemons of a simulated platform. */
import type {SimulatedPlatform} from './simulated-platform.js';

/** Lists the daemons that read the store, according to their last log line about it. */
export function listReaders(platform: SimulatedPlatform): string[] {
  const waits = new Map(
    platform.logEntries
      .filter(({event}) => event === 'reader-changed')
      .map(({process, fields}) => [process, fields['waits'] === true]),
  );
  return [...waits.keys()].filter(name => waits.get(name) === true);
}

/** Lists the route versions that some running daemons hold, each once. */
export function listRouteVersions(
  platform: SimulatedPlatform,
  names: readonly string[] = [...platform.daemons.keys()],
): number[] {
  const versions = names.flatMap(name => {
    const {running} = platform.getDaemon(name);
    return running === undefined ? [] : [running.catalog.stamp.routeVersion];
  });
  return [...new Set(versions)];
}
