/** Intervals, timeouts and limits of membership. */

/** Time between two probes of the same peer, up to `MESH_LIMIT` members. */
export const PROBE_INTERVAL_MS = 500;

/** Number of members up to which each daemon probes all others every round. */
export const MESH_LIMIT = 16;

/** Consecutive unanswered probes after which a member is suspected. */
export const MISSES_BEFORE_SUSPICION = 3;

/** Time in which a suspected member may refute the suspicion. */
export const SUSPICION_TIMEOUT_MS = 1_000;

/**
 * Time since an answered probe was sent in which this daemon takes its state to
 * include all that the peer places flows by.
 */
export const VIEW_LEASE_MS = 1_250;

/**
 * Time without a run of the probe task after which a daemon takes itself to
 * have been paused. Shorter than the view lease that peers hold on a daemon
 * that stopped right after it answered.
 */
export const PAUSE_DETECTION_MS = 700;

/**
 * Silence after which a peer's confirmation is no longer awaited. It starts at
 * a later event than `VIEW_LEASE_MS` and is longer, so a silent daemon has
 * stopped trusting its tables by then.
 */
export const CONFIRMATION_TIMEOUT_MS = 2_500;

/** Time in which a new owner asks former holders for unknown flows. */
export const FORMER_HOLDER_QUERY_MS = 3_000;

/** Time between two publications of flow counts. */
export const LOAD_PUBLISH_INTERVAL_MS = 2_000;

/** Relays asked to probe a member that did not answer. */
export const INDIRECT_PROBE_RELAYS = 2;

/** Datagrams that carry a membership update, per doubling of the members. */
export const RETRANSMIT_MULTIPLIER = 4;

/**
 * Time between the last peer's confirmation of a change and its activation. An
 * open retransmitted later than this may be placed twice.
 */
export const ACTIVATION_DELAY_MS = 300;
