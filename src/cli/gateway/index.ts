import '../../core/logs/enable.ts';
import { createSignalInbox } from '../../core/process/signal-inbox.ts';

// The modules of the daemon take longer to load than all that runs before; signals wait meanwhile.
const signals = createSignalInbox();
const { runGateway } = await import('./run-gateway.ts');
await runGateway(signals);
