/** Service plans and failure domains of the demo and the experiments. */
import type {ServicePlan} from './cluster.js';

/** Failure domains of the Parkwise workspace. */
export const PARKWISE_DOMAINS = ['hall-a', 'hall-b', 'hall-c'] as const;

/** Payments, which must not run twice. */
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

/** Documents for handheld devices, which may be requested again. */
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

/** Failure domains of the Harvest Table workspace. */
export const HARVEST_DOMAINS = [
  'hall-north',
  'hall-east',
  'hall-south',
  'hall-west',
] as const;

/** Routes and reservations, which must not run twice. */
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

/** Recipes, which may be requested again. */
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
