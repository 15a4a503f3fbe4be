import type { ProtocolSpecification, ProtocolTypes, StepOf } from "./protocolSpecification.js";

/** The steps of a run, one a line. */
export const formatTrace = <P extends ProtocolTypes>(
    { formatSubject }: ProtocolSpecification<P>,
    steps: readonly StepOf<P>[],
): string =>
    steps.map(({ rule, subject }, index) => `${index + 1}. ${rule} ${formatSubject(subject)}`.trimEnd()).join("\n");
