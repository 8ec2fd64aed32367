/**
 * Adds the time that a heartbeat was under way to the ages in it, so that they count back
 * from the time of handling.
 */
import type {Beat, PeerAge} from '../generated/catalog.js';

/** Returns a heartbeat with the ages that hold `delayMs` after it was sent. */
export function ageHeartbeat(heartbeat: Beat, delayMs: number): Beat {
  const age = <T extends {ageMs: number}>(message: T): T => ({
    ...message,
    ageMs: message.ageMs + delayMs,
  });
  const {sender, peers, reads, reachNews, evidence} = heartbeat;
  return {
    ...heartbeat,
    sender: sender && age(sender),
    peers: peers.map<PeerAge>(age),
    routesAgeMs: heartbeat.routesAgeMs + delayMs,
    serversAgeMs: heartbeat.serversAgeMs + delayMs,
    reads: reads.map(age),
    reachNews: reachNews.map(age),
    evidence: evidence.map(age),
  };
}
