/** Number of entry daemons that serve one customer. */
export const DAEMONS_PER_CUSTOMER = 4;

/** Minimum number of availability zones that a customer's daemons span, if that many exist. */
export const ZONES_PER_CUSTOMER = 2;

/** Time for which a caller may cache an address response. */
export const ADDRESS_LIFETIME_MS = 30_000;
