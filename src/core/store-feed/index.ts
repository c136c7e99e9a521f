export { startFeed } from './create-feed.ts';
export type { Feed, FeedChange, FeedListener, FeedProgress } from './types.ts';
export { computeFeedTiming } from './timing.ts';
export type { FeedTiming } from './timing.ts';
