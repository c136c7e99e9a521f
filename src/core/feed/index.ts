export { startFeed } from './create-feed.ts';
export type { Feed, FeedListener } from './types.ts';
