const MEMORY_LIMIT_MB = 350;
const MEMORY_CHECK_MS = 20;
const RESTART_DELAY_MS = 300;

/**
 * Watches the memory of a machine's process as the platform does: a process that exceeds the limit is
 * killed (DEPLOY.md), and starts again after its end.
 */
export default function watchMachine(gateway, addLine) {
  const state = { memoryEnds: 0, peakMb: 0 };
  let isKilled = false;
  let isClosing = false;
  let isRestarting = false;

  const restartLater = () => {
    const { status, signal } = gateway.ends.at(-1) ?? {};
    addLine(`${gateway.name}: its process has ended, status ${status}, signal ${signal}`);
    if (isKilled) state.memoryEnds += 1;
    isRestarting = true;
    setTimeout(() => {
      isKilled = false;
      isRestarting = false;
      if (!isClosing) gateway.start();
    }, RESTART_DELAY_MS);
  };

  const timer = setInterval(() => {
    if (!gateway.isRunning()) {
      if (!isClosing && !isRestarting) restartLater();
      return;
    }
    const residentMb = gateway.readResidentMb();
    state.peakMb = Math.max(state.peakMb, residentMb);
    if (residentMb <= MEMORY_LIMIT_MB || isKilled) return;
    isKilled = true;
    addLine(`${gateway.name}: holds ${Math.round(residentMb)} MB, over its limit; it is killed`);
    gateway.kill('SIGKILL');
  }, MEMORY_CHECK_MS);

  state.stop = () => {
    isClosing = true;
    clearInterval(timer);
    gateway.kill('SIGKILL');
  };
  return state;
}
