/** What the gossip of a daemon needs to exchange evidence against servers with peers. */
import type {ServerEvidence} from '../generated/catalog.js';

/** Selects and takes in the evidence in heartbeats. */
export abstract class EvidenceExchange {
  /**
   * Selects the evidence for a heartbeat to a number of receivers. `isLarge` says that
   * heartbeats reach only some of the peers; `now` is monotonic milliseconds.
   */
  abstract selectEvidenceToGossip(
    receivers: number,
    isLarge: boolean,
    now: number,
  ): ServerEvidence[];

  /** Takes in a peer's evidence; returns whether any is new and to be relayed. */
  abstract applyEvidence(
    evidence: readonly ServerEvidence[],
    isLarge: boolean,
    now: number,
  ): boolean;
}
