/** What is known of a service image beside the fillers of its worker. */
export interface Pressure {
  readonly service: string;
  readonly floor: number;
  readonly fillers: readonly (readonly [image: string, pressure: number])[];
}
