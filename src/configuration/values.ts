/** Schemas of single values in INI files. */
import {z} from 'zod';
import {parseSocketAddress} from '../routing/ipv4.js';
import {parseDuration} from './duration.js';

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;

const SERVER_MESSAGE =
  'write "ip:port", or "ip:port weight=2" with a weight above 0 and up to 100';
const SERVER_LINE = /^(?<id>\S+)(\s+weight=(?<weight>\d+(\.\d+)?))?$/;
const MAX_WEIGHT = 100;

/** A backend server as listed in a template or workspace. */
export interface ServerParameter {
  /** "ip:port". */
  readonly id: string;
  readonly weight: number;
}

/** Accepts "ip:port" or "ip:port weight=2"; the default weight is 1. */
export function backendServer(): z.ZodType<ServerParameter, string> {
  return z.string({error: SERVER_MESSAGE}).transform((line, context) => {
    const groups = SERVER_LINE.exec(line.trim())?.groups;
    const id = groups?.['id'] ?? '';
    const weight = Number(groups?.['weight'] ?? 1);
    const isWeightValid = weight > 0 && weight <= MAX_WEIGHT;
    if (parseSocketAddress(id) === undefined || !isWeightValid) {
      context.addIssue({code: 'custom', input: line, message: SERVER_MESSAGE});
      return z.NEVER;
    }
    return {id, weight};
  });
}

/** Accepts a duration above 0, such as "250ms" or "2h", as milliseconds. */
export function duration(): z.ZodType<number, string> {
  return z
    .string({error: 'write a duration such as 250ms, 10s, 5m or 2h'})
    .transform((text, context) => {
      const value = parseDuration(text);
      if (value === undefined) {
        context.addIssue({
          code: 'custom',
          input: text,
          message: 'write a duration above 0 such as 250ms, 10s, 5m or 2h',
        });
        return z.NEVER;
      }
      return value;
    });
}

/** Accepts a whole number within bounds, both included. */
export function wholeNumber(
  lowest: number,
  highest: number,
): z.ZodType<number, string> {
  return bounded(lowest, highest, true);
}

/** Accepts a number within bounds, both included. */
export function fraction(
  lowest: number,
  highest: number,
): z.ZodType<number, string> {
  return bounded(lowest, highest, false);
}

function bounded(
  lowest: number,
  highest: number,
  whole: boolean,
): z.ZodType<number, string> {
  const kind = whole ? 'a whole number' : 'a number';
  const message = `write ${kind} from ${lowest} to ${highest}`;
  return z.string({error: message}).transform((text, context) => {
    const value = text.trim() === '' ? NaN : Number(text);
    const isInRange = value >= lowest && value <= highest;
    if (!isInRange || (whole && !Number.isInteger(value))) {
      context.addIssue({code: 'custom', input: text, message});
      return z.NEVER;
    }
    return value;
  });
}

/** Accepts a name of lower-case letters, digits and hyphens. */
export function name(): z.ZodType<string, string> {
  const message = 'write up to 63 lower-case letters, digits and hyphens';
  return z.string({error: message}).regex(NAME, {error: message});
}

/** Accepts an IPv4 address and a port, "a.b.c.d:port". */
export function socketAddress(): z.ZodType<string, string> {
  const message = 'write an IPv4 address and a port such as 10.20.0.1:443';
  return z
    .string({error: message})
    .refine(text => parseSocketAddress(text) !== undefined, {error: message});
}

/** Accepts "true" or "false", which the INI library reads as booleans. */
export function flag(): z.ZodType<boolean, boolean> {
  return z.boolean({error: 'write true or false'});
}

/** Accepts one of a list of words. */
export function oneOf<const T extends readonly [string, ...string[]]>(
  words: T,
): z.ZodType<T[number], string> {
  return z.enum(words, {error: `write one of ${words.join(', ')}`});
}

/** Accepts any text but an empty one; `what` completes the error message. */
export function text(what: string): z.ZodType<string, string> {
  const message = `write ${what}`;
  return z.string({error: message}).min(1, {error: message});
}
