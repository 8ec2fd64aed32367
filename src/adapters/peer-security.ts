/** Loads the credentials for mutual TLS between daemons. */
import {readFileSync} from 'node:fs';
import {ServerCredentials, credentials} from '@grpc/grpc-js';
import {err, ok, type Result} from 'neverthrow';
import type {PeerSecurity} from './daemon-peers.js';

/** Paths of PEM files, and the shared key for datagrams, as in the settings. */
export interface SecuritySettings {
  readonly certificate?: string;
  readonly 'private-key'?: string;
  readonly authority?: string;
  readonly 'datagram-key'?: string;
}

/** The certificate settings are incomplete or a file is unreadable. */
export class SecurityUnusable extends Error {
  readonly type = 'SecurityUnusable';
  /** Creates the failure; `cause` is part of its message. */
  static create(cause: string): SecurityUnusable {
    return new SecurityUnusable(
      `[security] ${cause}; name certificate, private-key and authority ` +
        'as readable PEM files, or none of the three',
    );
  }
}

/** Loads all three files for mutual TLS; without any, connections are unencrypted. */
export function loadPeerSecurity(
  settings: SecuritySettings,
): Result<PeerSecurity, SecurityUnusable> {
  const {certificate, authority} = settings;
  const privateKey = settings['private-key'];
  const datagramKey = settings['datagram-key'];
  const paths = [certificate, privateKey, authority];
  if (paths.every(path => path === undefined)) {
    return ok({
      server: ServerCredentials.createInsecure(),
      client: credentials.createInsecure(),
      datagramKey,
    });
  }
  if (
    certificate === undefined ||
    privateKey === undefined ||
    authority === undefined
  ) {
    return err(
      SecurityUnusable.create('only some of the three files are configured'),
    );
  }
  try {
    const [chain, key, root] = [certificate, privateKey, authority].map(path =>
      readFileSync(path),
    );
    return ok({
      server: ServerCredentials.createSsl(
        root,
        [{private_key: key, cert_chain: chain}],
        true,
      ),
      client: credentials.createSsl(root, key, chain),
      datagramKey,
    });
  } catch (error) {
    return err(SecurityUnusable.create(String(error)));
  }
}
