/** Number of entry daemons that serve one customer. */
export const CUSTOMER_SET_SIZE = 4;

/** Minimum number of availability zones that a customer's daemons span, if that many exist. */
export const CUSTOMER_SET_ZONES = 2;

/** Time for which a caller may cache an address response. */
export const ADDRESS_LIFETIME_MS = 30_000;
