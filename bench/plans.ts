/** The two users' services at their sizes of today. */
import type {ServicePlan} from './cluster.js';

/** Parkwise: payments and documents in three halls. */
export const PARKWISE_DOMAINS = ['hall-a', 'hall-b', 'hall-c'] as const;

/** Payments: 10 servers, each with 3 slots and 2,000 connections. */
export const METERPAY: ServicePlan = {
  workspace: 'parkwise',
  service: 'meterpay',
  address: '10.20.0.1:443',
  servers: 10,
  slots: 3,
  connections: 2_000,
  serviceMs: 20,
  repeatable: false,
};

/** Handheld documents: 3 servers, each with 3 slots and 2,000 connections. */
export const HANDHELD: ServicePlan = {
  workspace: 'parkwise',
  service: 'handheld-docs',
  address: '10.20.0.2:443',
  servers: 3,
  slots: 3,
  connections: 2_000,
  serviceMs: 20,
  repeatable: true,
};

/** Harvest Table: routes and recipes in four halls. */
export const HARVEST_DOMAINS = [
  'hall-north',
  'hall-east',
  'hall-south',
  'hall-west',
] as const;

/** Routes and reservations: 10 servers with 2 slots and 2,000 connections. */
export const DISPATCH: ServicePlan = {
  workspace: 'harvest-table',
  service: 'dispatch-svc',
  address: '10.30.0.1:443',
  servers: 10,
  slots: 2,
  connections: 2_000,
  serviceMs: 20,
  repeatable: false,
};

/** Recipe sheets: 4 servers with 2 slots and 2,000 connections. */
export const LIBRARY: ServicePlan = {
  workspace: 'harvest-table',
  service: 'library-svc',
  address: '10.30.0.2:443',
  servers: 4,
  slots: 2,
  connections: 2_000,
  serviceMs: 20,
  repeatable: true,
};
