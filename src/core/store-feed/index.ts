export { startFeed } from './create-feed.ts';
export type { Feed, FeedChange, FeedListener, FeedProgress } from './types.ts';
