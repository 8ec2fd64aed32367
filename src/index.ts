/**
 * Public API: the coordination components of weldyard, for embedding. They access network,
 * storage and clocks only through the ports exported here.
 */

// Ports
export {Clock, type Timer} from './ports/clock.js';
export {Counters, Metric} from './ports/counters.js';
export {Hasher} from './ports/hasher.js';
export {PeerUnavailable, Peers, type PeerHandlers} from './ports/peers.js';
export {
  Store,
  StoreUnavailable,
  ValueTooLarge,
  type LeaseGrant,
  type StoreFailure,
  type StoredValue,
  type SwapOutcome,
} from './ports/store.js';
export {
  BackendServers,
  BackendSilent,
  BackendUnreachable,
  type BackendFailure,
} from './ports/backend-servers.js';
export {
  EventKind,
  Timeline,
  type HybridTimestamp,
  type TimelineRecord,
} from './ports/timeline.js';

// Routing
export {
  createMaglevTable,
  entryCountFor,
  type LookupTable,
  type WeightedServer,
} from './routing/lookup-table.js';
export {
  LeastLoadedPlacement,
  Placement,
  type Candidate,
} from './routing/placement.js';
export {Ownership, type OwnerCandidate} from './routing/ownership.js';
export {Router, StateScope, type RouterOptions} from './routing/router.js';
export {
  DecisionKind,
  DropReason,
  FROM_FABRIC,
  type Arrival,
  type Decision,
} from './routing/decision.js';
export type {
  AddressGeneration,
  RoutedAddress,
  RoutedServer,
  RoutingRevision,
} from './routing/routed-address.js';
export {MarkKind, MarkState, ServerMarks} from './routing/server-marks.js';

// Membership
export {MemberList} from './membership/member-list.js';
export {
  MemberState,
  firstIncarnation,
  type Member,
} from './membership/member.js';
export {
  FailureDetector,
  type FailureDetectorHooks,
  type FailureDetectorOptions,
} from './membership/failure-detector.js';
export {ChangeLog} from './membership/change-log.js';

// Catalog of routes and servers replicated within a fleet, and routing by cookies
export {Catalog, type CatalogOptions} from './catalog/catalog.js';
export {type KnownRoute} from './catalog/route-table.js';
export {
  CatalogReader,
  type CatalogReaderOptions,
} from './catalog/catalog-reader.js';
export {
  CatalogGossip,
  type CatalogGossipOptions,
} from './catalog/catalog-gossip.js';
export type {
  CatalogEvents,
  CatalogRoute,
  CatalogServer,
  RouteListing,
  ServerListing,
} from './catalog/records.js';
export {CatalogSource, SourceFailure} from './ports/catalog-source.js';
export {CookieFabric, type CookiePacket} from './ports/cookie-fabric.js';
export {FleetChannel, type FleetHandlers} from './ports/fleet-channel.js';
export type {PeerDaemon} from './membership/peer-daemon.js';
export {PeerView} from './membership/peer-view.js';
export {
  CookieRouter,
  type CookieDecision,
  type CookieRouterOptions,
} from './routing/cookie-router.js';
export {ServerLoadTracker} from './routing/server-load-tracker.js';

// Recovery
export {
  FlowCoordinator,
  type FlowCoordinatorOptions,
} from './recovery/flow-coordinator.js';

// Admission
export {
  Dispatcher,
  type AdmittedRequest,
  type DispatcherOptions,
} from './admission/dispatcher.js';
export {RetryBudget} from './admission/retry-budget.js';
export {RequestQueue, type QueuedRequest} from './admission/request-queue.js';
export {OutcomeReason, statusOf, type Outcome} from './admission/outcome.js';
export {KeyRanges, type RangeView} from './admission/key-ranges.js';
export {LeasedKeyGuard} from './admission/leased-key-guard.js';

// Adapters that can be used without a daemon
export {SystemClock} from './adapters/system-clock.js';
export {XxhashHasher} from './adapters/xxhash-hasher.js';
