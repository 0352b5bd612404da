package org.tallycart.core.declaration;

import java.util.List;

import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;

/**
 * Checks the rules of a policy before it is accepted.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PolicyChecker {

	/**
	 * Check the rules of a policy.
	 * @param section the section that declares the policy
	 * @param source the rules
	 * @return the problems; empty if there are none
	 */
	List<Problem> check(IniSection section, PolicySource source);

}
