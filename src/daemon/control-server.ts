/** gRPC servers of a daemon: requests from callers, and control calls from the command line. */
import {Server, ServerCredentials} from '@grpc/grpc-js';
import {CHANNEL_OPTIONS, bindServer} from '../adapters/grpc-call.js';
import {
  ControlService,
  type ControlServer,
  type StatusReply,
} from '../generated/peer.js';
import {
  RequestsService,
  type CallerReply,
  type CallerRequest,
  type RequestsServer,
} from '../generated/request.js';
import type {Timeline} from '../ports/timeline.js';

const MAX_TIMELINE_EVENTS = 10_000;

/** Starts the server that accepts requests from callers. */
export async function createRequestServer(
  address: string,
  handle: (request: CallerRequest) => Promise<CallerReply>,
): Promise<Server> {
  const service: RequestsServer = {
    call: (call, callback) => {
      void handle({...call.request, hops: 0}).then(reply =>
        callback(null, reply),
      );
    },
  };
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(RequestsService, service);
  await bindServer(server, address, ServerCredentials.createInsecure());
  return server;
}

/** Starts the server that reports status and timeline to the command line. */
export async function createControlServer(
  address: string,
  status: () => StatusReply,
  timeline: Timeline,
): Promise<Server> {
  const service: ControlServer = {
    status: (_call, callback) => callback(null, status()),
    timeline: (call, callback) => {
      const limit = call.request.limit || MAX_TIMELINE_EVENTS;
      const events = timeline.recent(limit).map(record => ({
        process: record.process,
        physicalMs: record.stamp.physicalMs,
        logical: record.stamp.logical,
        kind: record.kind,
        detailJson: JSON.stringify(record.detail),
      }));
      callback(null, {events});
    },
  };
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(ControlService, service);
  await bindServer(server, address, ServerCredentials.createInsecure());
  return server;
}
