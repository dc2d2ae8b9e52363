/** Whether a job is admitted, with the inputs that decided a refusal. */
export type AdmissionDecision =
  /** `hasReturned` if the job was refused earlier. */
  | { readonly kind: "accept"; readonly hasReturned: boolean }
  | {
    readonly kind: "refuse";
    readonly reason: "overloaded";
    /** When there should be capacity for it. */
    readonly retryAfterMs: number;
    /** The earliest end, from now, and what its caller has use for. */
    readonly earliestEndMs: number;
    readonly usefulMs: number;
    readonly summaryAgeMs: number;
  };
