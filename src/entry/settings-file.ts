/**
 * The settings file of a daemon that serves a fabric with cookies: INI, read
 * without the schema library, whose loading costs a fifth of a start. All faults
 * are found at once; keys that are not known are ignored, since a newer platform
 * may fill in more.
 */
import {parse} from 'ini';
import {err, ok, type Result} from 'neverthrow';
import {parseDuration} from '../configuration/duration.js';
import {ConfigurationFaults, type Fault} from '../configuration/faults.js';
import {parseIpv4, parseSocketAddress} from '../routing/ipv4.js';
import type {EntrySettings} from './settings.js';

/** A heading that no other kind of settings file has. */
export const ENTRY_HEADING = /^\s*\[instance\]/m;

const HIGHEST_PORT = 65_535;
const THOUSANDTHS = 1_000;

type Sections = Readonly<Record<string, unknown>>;

/**
 * Reads the settings from a file's text; `file` is the name that faults show. The
 * error holds all faults, in the order of the settings.
 */
export function readEntrySettings(
  file: string,
  text: string,
): Result<EntrySettings, ConfigurationFaults> {
  const reader = SettingsReader.create(file, parse(text));
  const settings = readAll(reader);
  return reader.faults.length === 0
    ? ok(settings)
    : err(ConfigurationFaults.create(reader.faults));
}

/** The place of each setting in the file; docs/SETTINGS.md explains them. */
function readAll(reader: SettingsReader): EntrySettings {
  return {
    name: reader.text('instance', 'name'),
    address: reader.ipv4('instance', 'address'),
    failureDomain: reader.text('instance', 'failure-domain'),
    regions: reader.table('regions'),
    capacity: Math.round(reader.share('instance', 'processor-share')),
    linkMbps: reader.positive('instance', 'link-mbps'),
    fabricListen: reader.socket('listen', 'packets'),
    readinessListen: reader.socket('listen', 'readiness'),
    peerPort: reader.port('listen', 'peer-port'),
    fabricForm: reader.text('fabric', 'form'),
    isFirstStart: reader.flag('fleet', 'first-start'),
    seeds: reader.addresses('fleet', 'seeds'),
    storeAddress: reader.socket('store', 'address'),
    stopLimitMs: reader.duration('limits', 'stop'),
    flowLifetimeMs: reader.duration('limits', 'flow-lifetime'),
    inForceLimitMs: Math.min(
      reader.duration('limits', 'in-force'),
      reader.milliseconds('limits', 'evacuation-ms'),
    ),
    coldLimits: {
      excess: reader.number('limits', 'cold-excess', 1),
      slack: reader.number('limits', 'cold-slack', 0),
    },
    features: {
      feedback: reader.flag('features', 'health'),
      pressure: reader.flag('features', 'pressure'),
    },
  };
}

/**
 * Reads single keys and notes what is wrong with them; what it returns for such a
 * key is not used.
 */
class SettingsReader {
  readonly faults: Fault[] = [];

  private constructor(
    private readonly file: string,
    private readonly sections: Sections,
  ) {}

  /** Creates a reader of parsed settings. */
  static create(file: string, sections: Sections): SettingsReader {
    return new SettingsReader(file, sections);
  }

  /** A text that is not empty. */
  text(section: string, key: string): string {
    const value = this.value(section, key);
    return value === '' ? this.fault(section, key, '', 'write a text') : value;
  }

  /** "true" or "false"; false when it is missing. */
  flag(section: string, key: string): boolean {
    const value = this.value(section, key);
    if (value !== '' && value !== 'true' && value !== 'false') {
      this.fault(section, key, false, 'write true or false');
    }
    return value === 'true';
  }

  /** A number above 0. */
  positive(section: string, key: string): number {
    const value = Number(this.value(section, key));
    return value > 0
      ? value
      : this.fault(section, key, 0, 'write a number above 0 such as 100');
  }

  /** A share of one core, in thousandths. */
  share(section: string, key: string): number {
    const value = Number(this.value(section, key));
    return value > 0
      ? value * THOUSANDTHS
      : this.fault(section, key, 0, 'write a number above 0 such as 0.5');
  }

  /** A duration above 0, in milliseconds. */
  duration(section: string, key: string): number {
    const right = 'write a duration above 0 such as 250ms, 10s, 5m or 2h';
    return (
      parseDuration(this.value(section, key)) ??
      this.fault(section, key, 0, right)
    );
  }

  /** A number of milliseconds above 0; Infinity when it is missing. */
  milliseconds(section: string, key: string): number {
    const value = this.number(section, key, Infinity);
    const right = 'write a number of milliseconds above 0, or leave it out';
    return value > 0 ? value : this.fault(section, key, Infinity, right);
  }

  /** A number from 0 up; `instead` when it is missing. */
  number(section: string, key: string, instead: number): number {
    const text = this.value(section, key);
    const value = text === '' ? instead : Number(text);
    const right = 'write a number from 0 up, or leave it out';
    return value >= 0 ? value : this.fault(section, key, instead, right);
  }

  /** All keys of a section with their texts; empty when it is missing. */
  table(section: string): ReadonlyMap<string, string> {
    const keys = this.sections[section];
    return typeof keys === 'object' && keys !== null
      ? new Map(Object.keys(keys).map(key => [key, this.value(section, key)]))
      : new Map();
  }

  /** A port from 1 up. */
  port(section: string, key: string): number {
    const value = Number(this.value(section, key));
    return Number.isInteger(value) && value > 0 && value <= HIGHEST_PORT
      ? value
      : this.fault(section, key, 0, 'write a port from 1 to 65535');
  }

  /** An IPv4 address as an unsigned number. */
  ipv4(section: string, key: string): number {
    const right = 'write an IPv4 address such as 10.20.0.1';
    return (
      parseIpv4(this.value(section, key)) ?? this.fault(section, key, 0, right)
    );
  }

  /** An "ip:port" pair, as it is written. */
  socket(section: string, key: string): string {
    const value = this.value(section, key);
    const right = 'write an IPv4 address and a port such as 10.20.0.1:443';
    return parseSocketAddress(value) === undefined
      ? this.fault(section, key, '', right)
      : value;
  }

  /** IPv4 numbers of the "ip:port" pairs between commas; the list may be empty. */
  addresses(section: string, key: string): number[] {
    const right = 'write "ip:port" pairs between commas';
    return this.value(section, key)
      .split(',')
      .map(pair => pair.trim())
      .filter(pair => pair !== '')
      .map(
        pair =>
          parseSocketAddress(pair)?.address ??
          this.fault(section, key, 0, right),
      );
  }

  /** The text of a key; empty when it is missing. */
  private value(section: string, key: string): string {
    const keys = this.sections[section];
    const value =
      typeof keys === 'object' && keys !== null
        ? (keys as Sections)[key]
        : undefined;
    return value === undefined ? '' : String(value).trim();
  }

  /** Notes a fault; returns what stands in place of the value. */
  private fault<T>(section: string, key: string, instead: T, right: string): T {
    const value = this.value(section, key);
    const wrong = value === '' ? 'is missing' : `is ${JSON.stringify(value)}`;
    this.faults.push({file: this.file, section, key, wrong, right});
    return instead;
  }
}
