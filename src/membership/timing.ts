/** Intervals and bounds of membership, in milliseconds. */

/** Time between two probes of the same peer, up to `MESH_LIMIT` members. */
export const PROBE_INTERVAL_MS = 500;

/** Members up to which each daemon probes every other one. */
export const MESH_LIMIT = 16;

/** Probes in a row that must fail before a member is suspected. */
export const MISSES_BEFORE_SUSPICION = 3;

/** Time in which a suspected member may prove that it lives. */
export const SUSPICION_MS = 1_000;

/**
 * Time since the sending of the newest answered probe in which a daemon takes
 * its knowledge to include all that the peer places flows by.
 */
export const VIEW_LEASE_MS = 1_250;

/**
 * Time without a run of the probe task after which a daemon takes itself to
 * have been paused. It is shorter than the time in which peers go on trusting
 * a daemon that stopped right after it answered.
 */
export const PAUSE_MS = 700;

/**
 * Time of silence after which a peer's confirmation is no longer waited for.
 * It is counted from a later event than `TRUST_MS` and is longer, so a silent
 * daemon has stopped trusting its tables by then, whatever the clocks say.
 */
export const CONFIRMATION_TIMEOUT_MS = 2_500;

/** Time in which a new owner asks the one before it for unknown flows. */
export const FORMER_HOLDER_QUERY_MS = 3_000;

/** Time between two publications of flow counts. */
export const LOAD_INTERVAL_MS = 2_000;

/** Relays asked to probe a member that did not answer. */
export const RELAY_COUNT = 2;

/** Datagrams that carry a piece of member news, for each doubling of members. */
export const NEWS_REPEATS = 4;

/**
 * Time between the last peer's confirmation of a change and its use. A repeated
 * open that is this late may be placed twice.
 */
export const ACTIVATION_HOLD_MS = 300;
