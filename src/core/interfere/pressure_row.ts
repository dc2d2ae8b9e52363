/** What a `PressureModel` has learned, as it is stored for the next keeper. */
export interface PressureRow {
  /** The filler images; the numbers of each service follow this order. */
  readonly fillers: readonly string[];
  readonly services: readonly ServiceRow[];
  /** The caller load of each job of services. */
  readonly loads: readonly (readonly [job: string, load: number])[];
}

type ServiceRow = readonly [
  image: string,
  floor: number,
  pressures: readonly number[],
  variances: readonly number[],
];
