import { StatsD } from 'hot-shots';

/** Tags of a metric, such as the customer or the availability zone. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends the metrics of one process to a StatsD server over UDP. */
export interface Metrics {
  increment(name: string, by?: number, tags?: MetricTags): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds as a timing metric. */
  timing(name: string, durationMs: number, tags?: MetricTags): void;
  close(): Promise<void>;
}

/** Address of the StatsD server; without an address, metrics are dropped. */
export interface MetricsSettings {
  address?: string | undefined;
  port?: number | undefined;
}

const METRIC_PREFIX = 'clementinefork.';
const DEFAULT_METRICS_PORT = 8125;

/** Creates the metrics client of a process. */
export function createMetrics(settings: MetricsSettings, globalTags: MetricTags = {}): Metrics {
  const client = new StatsD({
    host: settings.address ?? '127.0.0.1',
    port: settings.port ?? DEFAULT_METRICS_PORT,
    prefix: METRIC_PREFIX,
    globalTags: { ...globalTags },
    // In mock mode, the client sends nothing and opens no socket.
    mock: settings.address === undefined,
    errorHandler: () => undefined,
  });
  return {
    increment: (name, by = 1, tags = {}) => client.increment(name, by, { ...tags }),
    gauge: (name, value, tags = {}) => client.gauge(name, value, { ...tags }),
    timing: (name, durationMs, tags = {}) => client.timing(name, durationMs, { ...tags }),
    close: () =>
      new Promise((resolve) => {
        client.close(() => resolve());
      }),
  };
}
