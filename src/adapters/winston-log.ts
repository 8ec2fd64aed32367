/** JSON log lines on standard error, written by winston. */
import winston from 'winston';
import {Log, type LogFields} from '../ports/log.js';

/** Log that writes to a winston logger. */
export class WinstonLog extends Log {
  private constructor(private readonly logger: winston.Logger) {
    super();
  }

  /** Creates a log; every line carries the process name. */
  static create(process: string, level: string): WinstonLog {
    const logger = winston.createLogger({
      level,
      defaultMeta: {process},
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.json(),
      ),
      transports: [
        new winston.transports.Console({
          stderrLevels: ['error', 'warn', 'info', 'debug'],
        }),
      ],
    });
    return new WinstonLog(logger);
  }

  error(event: string, fields?: LogFields): void {
    this.logger.error(event, fields);
  }

  warn(event: string, fields?: LogFields): void {
    this.logger.warn(event, fields);
  }

  info(event: string, fields?: LogFields): void {
    this.logger.info(event, fields);
  }

  debug(event: string, fields?: LogFields): void {
    this.logger.debug(event, fields);
  }
}
