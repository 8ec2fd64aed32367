/**
 * Parses the INI settings file of a daemon that serves a fabric with cookies. Reports all
 * faults at once and ignores unknown keys, which a newer platform may add. Doesn't use the
 * schema library, whose load time would delay the daemon's start.
 */
import {parse} from 'ini';
import {err, ok, type Result} from 'neverthrow';
import {parseDuration} from '../configuration/duration.js';
import {ConfigurationFaults, type Fault} from '../configuration/faults.js';
import {parseIpv4, parseSocketAddress} from '../routing/ipv4.js';
import type {EntrySettings} from './settings.js';

/** Matches a section heading that only this kind of settings file has. */
export const ENTRY_SECTION_PATTERN = /^\s*\[instance\]/m;

const MAX_PORT = 65_535;
const MILLICORES_PER_CORE = 1_000;

type Sections = Readonly<Record<string, unknown>>;

/**
 * Parses a settings file's text; `file` is the name to show in faults. The error holds
 * all faults, in the order in which the settings are read.
 */
export function readEntrySettings(
  file: string,
  text: string,
): Result<EntrySettings, ConfigurationFaults> {
  const reader = SettingsReader.create(file, parse(text));
  const settings = readSections(reader);
  return reader.faults.length === 0
    ? ok(settings)
    : err(ConfigurationFaults.create(reader.faults));
}

/** Maps the keys of the file to settings; docs/SETTINGS.md documents them. */
function readSections(reader: SettingsReader): EntrySettings {
  return {
    name: reader.text('instance', 'name'),
    address: reader.ipv4('instance', 'address'),
    failureDomain: reader.text('instance', 'failure-domain'),
    regions: reader.table('regions'),
    capacity: Math.round(reader.millicores('instance', 'processor-share')),
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
      ratings: reader.flag('features', 'ratings'),
      pressure: reader.flag('features', 'pressure'),
    },
  };
}

/** Reads single keys and collects their faults; a faulty key reads as a placeholder. */
class SettingsReader {
  readonly faults: Fault[] = [];

  private constructor(
    private readonly file: string,
    private readonly sections: Sections,
  ) {}

  /** Creates a reader of the parsed sections of `file`. */
  static create(file: string, sections: Sections): SettingsReader {
    return new SettingsReader(file, sections);
  }

  /** Reads a text that must not be empty. */
  text(section: string, key: string): string {
    const value = this.rawValue(section, key);
    return value === ''
      ? this.addFault(section, key, '', 'write a text')
      : value;
  }

  /** Reads "true" or "false"; a missing key is false. */
  flag(section: string, key: string): boolean {
    const value = this.rawValue(section, key);
    if (value !== '' && value !== 'true' && value !== 'false') {
      this.addFault(section, key, false, 'write true or false');
    }
    return value === 'true';
  }

  /** Reads a number above 0. */
  positive(section: string, key: string): number {
    const value = Number(this.rawValue(section, key));
    return value > 0
      ? value
      : this.addFault(section, key, 0, 'write a number above 0 such as 100');
  }

  /** Reads a share of one core, as thousandths of a core. */
  millicores(section: string, key: string): number {
    const value = Number(this.rawValue(section, key));
    return value > 0
      ? value * MILLICORES_PER_CORE
      : this.addFault(section, key, 0, 'write a number above 0 such as 0.5');
  }

  /** Reads a duration above 0 with its unit, as milliseconds. */
  duration(section: string, key: string): number {
    const right = 'write a duration above 0 such as 250ms, 10s, 5m or 2h';
    return (
      parseDuration(this.rawValue(section, key)) ??
      this.addFault(section, key, 0, right)
    );
  }

  /** Reads a number of milliseconds above 0; a missing key is Infinity. */
  milliseconds(section: string, key: string): number {
    const value = this.number(section, key, Infinity);
    const right = 'write a number of milliseconds above 0, or leave it out';
    return value > 0 ? value : this.addFault(section, key, Infinity, right);
  }

  /** Reads a number from 0 up; a missing key is `fallback`. */
  number(section: string, key: string, fallback: number): number {
    const text = this.rawValue(section, key);
    const value = text === '' ? fallback : Number(text);
    const right = 'write a number from 0 up, or leave it out';
    return value >= 0 ? value : this.addFault(section, key, fallback, right);
  }

  /** Reads all keys of a section with their texts; a missing section is empty. */
  table(section: string): ReadonlyMap<string, string> {
    const keys = this.sections[section];
    return typeof keys === 'object' && keys !== null
      ? new Map(
          Object.keys(keys).map(key => [key, this.rawValue(section, key)]),
        )
      : new Map();
  }

  /** Reads a port from 1 to 65535. */
  port(section: string, key: string): number {
    const value = Number(this.rawValue(section, key));
    return Number.isInteger(value) && value > 0 && value <= MAX_PORT
      ? value
      : this.addFault(section, key, 0, 'write a port from 1 to 65535');
  }

  /** Reads an IPv4 address, as an unsigned number. */
  ipv4(section: string, key: string): number {
    const right = 'write an IPv4 address such as 10.20.0.1';
    return (
      parseIpv4(this.rawValue(section, key)) ??
      this.addFault(section, key, 0, right)
    );
  }

  /** Reads an "ip:port" pair, as text. */
  socket(section: string, key: string): string {
    const value = this.rawValue(section, key);
    const right = 'write an IPv4 address and a port such as 10.20.0.1:443';
    return parseSocketAddress(value) === undefined
      ? this.addFault(section, key, '', right)
      : value;
  }

  /** Reads comma-separated "ip:port" pairs, as IPv4 numbers; the list may be empty. */
  addresses(section: string, key: string): number[] {
    const right = 'write "ip:port" pairs between commas';
    return this.rawValue(section, key)
      .split(',')
      .map(pair => pair.trim())
      .filter(pair => pair !== '')
      .map(
        pair =>
          parseSocketAddress(pair)?.address ??
          this.addFault(section, key, 0, right),
      );
  }

  /** Returns the trimmed text of a key; empty if it is missing. */
  private rawValue(section: string, key: string): string {
    const keys = this.sections[section];
    const value =
      typeof keys === 'object' && keys !== null
        ? (keys as Sections)[key]
        : undefined;
    return value === undefined ? '' : String(value).trim();
  }

  /** Records a fault and returns `placeholder`. */
  private addFault<T>(
    section: string,
    key: string,
    placeholder: T,
    right: string,
  ): T {
    const value = this.rawValue(section, key);
    const wrong = value === '' ? 'is missing' : `is ${JSON.stringify(value)}`;
    this.faults.push({file: this.file, section, key, wrong, right});
    return placeholder;
  }
}
