/**
 * Reason of the signals that end a wait. Without a reason each abort creates an exception with a stack trace, which took
 * a twentieth of a busy controller's processor time.
 */
export const WAIT_OVER = "The wait is over.";
