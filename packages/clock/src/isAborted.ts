/** Whether a signal has aborted. A call is not narrowed by an earlier check, unlike the property, which changes while a task waits. */
export const isAborted = (signal: AbortSignal): boolean => signal.aborted;
