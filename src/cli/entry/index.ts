import '../../core/logs/enable.ts';
import { createSignalInbox } from '../../core/process/signal-inbox.ts';

// The modules of the daemon take longer to load than all that runs before; signals wait meanwhile.
const signals = createSignalInbox();
const { runEntry } = await import('./run-entry.ts');
await runEntry(signals);
