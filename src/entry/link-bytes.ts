/** Sizes of packets on an instance's link, headers included, and the unit of its rate. */

/** Bytes per millisecond at a rate of one megabit per second. */
export const BYTES_PER_MS_PER_MBPS = 125;
/** Bytes of headers in front of a forwarded packet. */
export const FORWARD_HEADER_BYTES = 36;
/** Bytes of a reset. */
export const RESET_BYTES = 60;
