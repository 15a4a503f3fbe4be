import type { DispatchDecision, DispatchView } from "./dispatchView.js";

export const dispatchPass = (_view: DispatchView): readonly DispatchDecision[] => [];
